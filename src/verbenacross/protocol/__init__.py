"""Internal protocol between agents and entries: messages and their codec."""

from .codec import decode_message, encode_compressed, encode_message
from .exceptions import ProtocolError

__all__ = ["ProtocolError", "decode_message", "encode_compressed", "encode_message"]
