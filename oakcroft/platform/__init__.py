"""A front end that speaks the platform's protocol: the sockets, tasks and limits around the decision module."""
