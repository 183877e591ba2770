"""Types of the parts of ward that the tests use: ward itself has none."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, Generic, TypeVar

_F = TypeVar("_F", bound=Callable[..., object])
_E = TypeVar("_E", bound=BaseException)

def test(description: str, *args: object, tags: list[str] | None = ...) -> Callable[[_F], _F]: ...
def fixture(func: Callable[..., object]) -> Any: ...
def each(*args: Any) -> Any: ...

class raises(AbstractContextManager["raises[_E]"], Generic[_E]):
    raised: _E
    def __init__(self, expected_ex_type: type[_E] | tuple[type[_E], ...]) -> None: ...
    def __exit__(self, *exc: object) -> bool: ...
