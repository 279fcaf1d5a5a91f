"""Plays a day, a scenario for a test, through real front ends on loopback and checks the rules.

A day has a length, a fleet of emulated nodes, viewers and faults (oakcroft/standins/day.py reads its file).
"""
