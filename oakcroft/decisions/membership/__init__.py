"""Membership of front ends: failure detection and gossip dissemination (SWIM, Lifeguard), without I/O."""
