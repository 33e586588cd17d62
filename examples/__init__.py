"""Examples that run the product."""
