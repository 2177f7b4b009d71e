/**
 * The burn report for people: a table, or one self-contained page.
 *
 * @module
 */
import type { BurnReport, ServiceBurn } from "./burn_report.ts";

const PLOT_WIDTH = 600;
const PLOT_HEIGHT = 80;

/** Writes the report as lines for a terminal. */
export function formatBurn(report: BurnReport): string[] {
  const header =
    "SERVICE               OBJECTIVE              REQUESTS      BAD  BURN short  BURN long  BUDGET LEFT";
  return [
    header,
    ...report.services.flatMap((service) => [
      [
        service.service.padEnd(20),
        describeObjective(service).padEnd(22),
        String(service.long.requests).padStart(9),
        String(service.long.bad).padStart(8),
        service.short.burn.toFixed(2).padStart(11),
        service.long.burn.toFixed(2).padStart(10),
        `${(service.budgetLeft * 100).toFixed(0)} %`.padStart(12),
      ].join(" "),
      ...service.causes.map(({ by, name, bad }) =>
        `  spent by ${by} ${name}: ${bad}`
      ),
    ]),
  ];
}

/** Writes the report as one HTML page that needs nothing else. */
export function writeBurnPage(report: BurnReport): string {
  const sections = report.services.map((service) =>
    [
      `<h2>${escape(service.service)}</h2>`,
      `<p>${
        escape(describeObjective(service))
      }; ${service.long.requests} requests, ${service.long.bad} bad; `,
      `burn ${service.short.burn.toFixed(2)} short, ${
        service.long.burn.toFixed(2)
      } long; `,
      `${(service.budgetLeft * 100).toFixed(0)} % of the error budget left</p>`,
      plotCourse(service.course),
      "<table><tr><th>spent by</th><th></th><th>bad requests</th></tr>",
      ...service.causes.map(({ by, name, bad }) =>
        `<tr><td>${by}</td><td>${escape(name)}</td><td>${bad}</td></tr>`
      ),
      "</table>",
    ].join("\n")
  );
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>',
    "<style>body{font:16px system-ui;margin:2em auto;max-width:50em}td,th{text-align:left;padding:.2em 1em .2em 0}",
    "svg{border:1px solid #999;display:block;margin:1em 0}</style></head><body>",
    "<h1>Service-level burn</h1>",
    ...sections,
    "</body></html>\n",
  ].join("\n");
}

function describeObjective(service: ServiceBurn): string {
  return `${(service.goodShare * 100).toFixed(2)} % in ${service.withinMs} ms`;
}

/** Burn over time; the line across is a burn of 1. */
function plotCourse(course: readonly number[]): string {
  const highest = Math.max(2, ...course);
  const heightOf = (burn: number) =>
    PLOT_HEIGHT - (burn / highest) * PLOT_HEIGHT;
  const points = course
    .map((burn, index) =>
      `${((index / Math.max(1, course.length - 1)) * PLOT_WIDTH).toFixed(1)},${
        heightOf(burn).toFixed(1)
      }`
    )
    .join(" ");
  return [
    `<svg width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" role="img" aria-label="burn over time, highest ${
      highest.toFixed(1)
    }">`,
    `<line x1="0" x2="${PLOT_WIDTH}" y1="${heightOf(1)}" y2="${
      heightOf(1)
    }" stroke="#c33" stroke-dasharray="4"/>`,
    `<polyline points="${points}" fill="none" stroke="#036"/></svg>`,
  ].join("");
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(
    ">",
    "&gt;",
  ).replaceAll('"', "&quot;");
}
