"""Runs the decision module for front ends of the simulator, over its line protocol on standard input and output."""
