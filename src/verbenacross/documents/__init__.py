"""JSON documents: strict reading, typed fields, findings with their place."""
