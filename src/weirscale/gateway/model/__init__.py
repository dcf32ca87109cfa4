"""Values that operators declare or back ends register, and look-ups over them; no I/O, no clock."""
