"""The running front end: it connects viewers, the decision policy and playout nodes."""
