#!/bin/sh
# Installs the dependencies and a byte-compiled copy of the package under
# target/. The tree is read-only at run time, so Python cannot cache byte
# code there, and a start that compiles the modules takes twice as long.
set -e
requirements=deploy/requirements.txt
# Compiled dependencies fit one architecture and one version of Python. A target
# folder may have been carried over from an instance with others.
interpreter=$(python3 -c \
  'import sysconfig, sys; print(sysconfig.get_platform(), sys.implementation.cache_tag)')
mark=target/deps/.built-for
if ! [ target/deps -nt "$requirements" ] \
    || [ "$(cat "$mark" 2>/dev/null)" != "$interpreter" ]; then
  rm -rf target/deps
  python3 -m pip install -q -U --target target/deps -r "$requirements"
  echo "$interpreter" > "$mark"
fi
# Processes may be starting from the last copy: it is replaced by a complete one,
# and only if something has changed.
new=target/app.$$
find target -maxdepth 1 -name 'app.*' -mmin +10 -exec rm -rf {} +
mkdir -p "$new"
cp -R src/fuchsiabarrow "$new/"
find "$new" -name __pycache__ -prune -exec rm -rf {} +
echo "$interpreter" > "$new/.built-for"
if diff -rq -x __pycache__ "$new" target/app >/dev/null 2>&1; then
  rm -rf "$new"
  exit
fi
python3 -m compileall -q "$new"
if [ -e target/app ]; then
  mv target/app "$new.old"
fi
mv "$new" target/app
rm -rf "$new.old"
