/** Checks that the files, members and pages which the developer documentation refers to exist. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';

const root = fileURLToPath(new URL('../', import.meta.url));

/** Pages that describe the present code; pages on results and incidents refer to the code of their time. */
const PAGES = [
  'README.md',
  'docs/architecture.md',
  'docs/design.md',
  'docs/glossary.md',
  'docs/operations.md',
];

/** Path prefixes that the pages may omit. */
const PREFIXES = ['', 'src/', 'src/controller/', 'test/', 'test/simulation/'];

const SOURCE_PATH = /`([\w./-]+\.(?:ts|mjs))`/g;
const MEMBER_REFERENCE = /`([A-Z]\w+)\.([a-z]\w+)`/g;
const LINK = /\]\(([\w./-]+)\)/g;

function matchesIn(page: string, pattern: RegExp): RegExpMatchArray[] {
  return [...readFileSync(join(root, page), 'utf8').matchAll(pattern)];
}

/** Paths of all source and test files in the working tree, relative to the root. */
function sourceFiles(): string[] {
  return execFileSync('find', ['src', 'test', '-name', '*.ts'], { cwd: root, encoding: 'utf8' })
    .trim()
    .split('\n');
}

describe('the developer documentation', () => {
  const files = sourceFiles();
  const sources = files.map((file) => readFileSync(join(root, file), 'utf8'));

  for (const page of PAGES) {
    it(`names only files that exist: ${page}`, () => {
      for (const [, path = ''] of matchesIn(page, SOURCE_PATH)) {
        const exists = path.includes('/')
          ? PREFIXES.some((prefix) => existsSync(join(root, prefix + path)))
          : existsSync(join(root, path)) || files.some((file) => file.endsWith(`/${path}`));
        assert.ok(exists, `${page} names ${path}, which does not exist`);
      }
    });

    it(`names only members that exist: ${page}`, () => {
      for (const [, type = '', member = ''] of matchesIn(page, MEMBER_REFERENCE)) {
        const declaration = new RegExp(`(class|interface|type|const) ${type}\\b`);
        const declaringSources = sources.filter((source) => declaration.test(source));
        const memberExists = declaringSources.some((source) =>
          new RegExp(`\\b${member}\\b`).test(source),
        );
        assert.ok(memberExists, `${page} names ${type}.${member}, which does not exist`);
      }
    });

    it(`links only to pages that exist: ${page}`, () => {
      for (const [, target = ''] of matchesIn(page, LINK))
        assert.ok(
          existsSync(join(root, dirname(page), target)),
          `${page} links to ${target}, which does not exist`,
        );
    });
  }
});
