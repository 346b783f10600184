"""Stand-ins for the systems that jacinthcart works with."""
