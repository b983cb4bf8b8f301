"""Carry thrift frames between processes of fescuedrum."""
