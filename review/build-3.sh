#!/bin/sh
# Builds the stand-ins of the third review: compiles them, so that a fault in
# them shows before a script starts.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'P'
import pathlib
import sys

files = [pathlib.Path("review/standins_3.py")]
for number in range(11, 16):
    files += sorted(pathlib.Path(f"review/{number}").glob("*.py"))
for path in files:
    compile(path.read_bytes(), str(path), "exec")
    print("built", path)
P
