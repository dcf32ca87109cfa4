"""The configuration aggregate: what operators declare in one file, applied as a whole."""
