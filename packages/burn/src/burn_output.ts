/**
 * Human-readable output of the burn report: a text table or a self-contained HTML page.
 *
 * @module
 */
import type { BurnReport, ServiceBurn } from "./burn_report.ts";

const PLOT_WIDTH_PX = 600;
const PLOT_HEIGHT_PX = 80;

/** Formats the report as lines of a text table. */
export function formatBurnTable(report: BurnReport): string[] {
  const header =
    "SERVICE               OBJECTIVE              REQUESTS      BAD  BURN short  BURN long  BUDGET LEFT";
  return [
    header,
    ...report.services.flatMap((service) => [
      [
        service.service.padEnd(20),
        formatObjective(service).padEnd(22),
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

/** Renders the report as an HTML page without external resources. */
export function renderBurnPage(report: BurnReport): string {
  const sections = report.services.map((service) =>
    [
      `<h2>${escapeHtml(service.service)}</h2>`,
      `<p>${
        escapeHtml(formatObjective(service))
      }; ${service.long.requests} requests, ${service.long.bad} bad; `,
      `burn ${service.short.burn.toFixed(2)} short, ${
        service.long.burn.toFixed(2)
      } long; `,
      `${(service.budgetLeft * 100).toFixed(0)} % of the error budget left</p>`,
      renderBurnPlot(service.course),
      "<table><tr><th>spent by</th><th></th><th>bad requests</th></tr>",
      ...service.causes.map(({ by, name, bad }) =>
        `<tr><td>${by}</td><td>${escapeHtml(name)}</td><td>${bad}</td></tr>`
      ),
      "</table>",
    ].join("\n")
  );
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Service-level objective burn rate</title>',
    "<style>body{font:16px system-ui;margin:2em auto;max-width:50em}td,th{text-align:left;padding:.2em 1em .2em 0}",
    "svg{border:1px solid #999;display:block;margin:1em 0}</style></head><body>",
    "<h1>Service-level objective burn rate</h1>",
    ...sections,
    "</body></html>\n",
  ].join("\n");
}

function formatObjective(service: ServiceBurn): string {
  return `${(service.goodShare * 100).toFixed(2)} % in ${service.withinMs} ms`;
}

/** Plots the burn rate over time; the dashed line marks a burn rate of 1. */
function renderBurnPlot(course: readonly number[]): string {
  const maxBurn = Math.max(2, ...course);
  const toY = (burn: number) =>
    PLOT_HEIGHT_PX - (burn / maxBurn) * PLOT_HEIGHT_PX;
  const points = course
    .map((burn, index) =>
      `${
        ((index / Math.max(1, course.length - 1)) * PLOT_WIDTH_PX).toFixed(1)
      },${toY(burn).toFixed(1)}`
    )
    .join(" ");
  return [
    `<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" role="img" aria-label="burn rate over time, scale maximum ${
      maxBurn.toFixed(1)
    }">`,
    `<line x1="0" x2="${PLOT_WIDTH_PX}" y1="${toY(1)}" y2="${
      toY(1)
    }" stroke="#c33" stroke-dasharray="4"/>`,
    `<polyline points="${points}" fill="none" stroke="#036"/></svg>`,
  ].join("");
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(
    ">",
    "&gt;",
  ).replaceAll('"', "&quot;");
}
