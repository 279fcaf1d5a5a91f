"""Decisions of a front as one of a fleet: leases, rollouts, takeovers, node lists and shutdown."""
