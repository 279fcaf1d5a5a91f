"""Emulated surroundings of a front end: playout nodes, node list service, peer network and a disk that fails.

They are written from the published interfaces, not from the front end's own code.
"""
