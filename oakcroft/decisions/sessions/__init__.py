"""Sessions: setup tries, answers, idempotency, session resources and the health of a node's event stream."""
