"""Checks the six rules, and the properties of a fleet, against records of what passed on the sockets."""
