"""What the control plane costs, and how far it carries: measured, simulated and reckoned."""
