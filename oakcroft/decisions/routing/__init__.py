"""Routing decisions: the plan, pool, zone, title and rungs that apply to a request."""
