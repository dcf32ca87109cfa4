"""Tasks around engines' homes: follow cache events and loads, publish digests, receive them."""
