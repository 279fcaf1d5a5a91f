"""Admission at the front end: connection limits, request limits, load shedding and reduced service."""
