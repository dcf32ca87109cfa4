"""Small stand-ins of the platform, for the scripts of the review; standard library only."""
