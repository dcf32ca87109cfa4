"""Request limits that back ends state in their answers, and the permits that enforce them."""
