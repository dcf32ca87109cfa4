"""Home nodes of engines: follow cache events and loads, publish digests and receive them.

The home of an engine is the one node that reads its cache events and load reports, and forwards
them to the other nodes as digests.
"""
