"""Request limits that back ends state: what is known of them, and who may send within them."""
