"""One front end on the platform's protocol: sockets, tasks and bounds round the decision module."""
