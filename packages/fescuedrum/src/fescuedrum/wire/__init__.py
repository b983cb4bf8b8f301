"""Send thrift frames and datagrams between processes of fescuedrum."""
