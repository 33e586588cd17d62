"""How instances learn the store's records: few read it, the rest subscribe."""
