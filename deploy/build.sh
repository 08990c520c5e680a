#!/bin/sh
# Puts the dependencies and a compiled copy of the package under target/. The
# tree cannot be written to later, and a start that compiles takes twice as long.
set -e
requirements=deploy/requirements.txt
if ! [ target/deps -nt "$requirements" ]; then
  python3 -m pip install -q -U --target target/deps -r "$requirements"
fi
rm -rf target/app
mkdir -p target/app
cp -R src/fuchsiabarrow target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app
