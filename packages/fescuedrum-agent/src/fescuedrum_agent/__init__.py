"""The agent: runs beside an endpoint and admits the requests sent to it."""
