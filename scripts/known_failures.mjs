/**
 * The list of known failures in `KNOWN-RED.txt`.
 *
 * Each line is one entry. It begins with what fails: the full title of a test in quotes, or the folder of a case under
 * `review/`, which CI does not run; a colon and the description follow.
 *
 * @module
 */

const TEST_ENTRY = /^"([^"]+)": \S/;
const CASE_ENTRY = /^(review\/[\w-]+): \S/;

/**
 * Checks the list.
 *
 * @param text the content of the file.
 * @param run `titles`: the full titles of all tests of this run; `isFolder`: whether a folder exists in the repository.
 * @returns `titles`: the tests that are expected to fail; `errors`: a description of each invalid entry.
 */
export function parseKnownFailures(text, { titles, isFolder }) {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const entries = lines.map((line) => ({
    line,
    title: TEST_ENTRY.exec(line)?.[1],
    folder: CASE_ENTRY.exec(line)?.[1],
  }));
  const isValid = ({ title, folder }) =>
    title === undefined
      ? folder !== undefined && isFolder(folder)
      : titles.has(title);
  const names = entries.map(({ title, folder }) => title ?? folder);
  const errors = [
    ...entries.filter((entry) => !isValid(entry)).map(({ line }) =>
      `KNOWN-RED.txt: neither a test of this run nor a folder under review/: ${line}`
    ),
    ...names.filter((name, index) =>
      name !== undefined && names.indexOf(name) !== index
    ).map((name) => `KNOWN-RED.txt: listed twice: ${name}`),
  ];
  return {
    lines,
    titles: new Set(
      entries.flatMap(({ title }) => title === undefined ? [] : [title]),
    ),
    errors,
  };
}
