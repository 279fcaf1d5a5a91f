"""

he running front end: viewers on one side, playout nodes on the other, the decision policy between them.
"""
