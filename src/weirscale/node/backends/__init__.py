"""The directory of back ends: which there are, how they are, and how to call them."""
