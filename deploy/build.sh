#!/bin/sh
# Installs the dependencies and a byte-compiled copy of the package under
# target/. The tree is read-only at run time, so Python cannot cache byte
# code there, and a start that compiles the modules takes twice as long.
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
