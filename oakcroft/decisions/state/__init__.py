"""Durable state: promises, the health of the state file, and recovery after a restart."""
