package fitter

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	markBegin    = "<!-- generated: begin -->"
	markEnd      = "<!-- generated: end -->"
	pageMode     = 0o644
	tableHead    = "| Role | Duty | Cost | Grows with | Sizes | Slope | Intercept | Residual | At the target | Same in every run |"
	tableRule    = "|---|---|---|---|---|---|---|---|---|---|"
	totalHead    = "| Daemon | Budget | Sum at the target | Limit | Fits |"
	totalRule    = "|---|---|---|---|---|"
	figureFormat = "%.4g"

	leadingEntry = "entry that leads"
)

type (
	// Total is the sum of one budget for one kind of daemon, or for the store.
	Total struct {
		Of     string
		Budget Budget
		Sum    float64
		Limit  float64
	}

	// shortfall identifies a sum that exceeds its limit.
	shortfall struct {
		of     string
		budget Budget
	}

	// budgetGroup is a kind of daemon or the store, with its roles and the budgets that limit it.
	budgetGroup struct {
		of      string
		roles   []Role
		budgets []Budget
	}
)

var (
	limits = map[Budget]float64{
		Control:     LimitControl,
		Processor:   LimitCoreShare,
		Memory:      LimitMemory,
		StoreWrites: LimitStoreWrites,
		StoreReads:  LimitStoreReads,
	}

	// shortfalls holds the sums that exceed their limit, each with the change that would bring it within the limit.
	shortfalls = map[shortfall]string{
		{of: leadingEntry, budget: Control}: "a report that names only attempts that changed since the lead's last call; " +
			"now each renewal and each question about a task's end brings all attempts of the worker",
	}

	budgetGroups = []budgetGroup{
		{of: "entry", roles: []Role{RoleEntry}, budgets: []Budget{Control, Processor, Memory}},
		{of: leadingEntry, roles: []Role{RoleEntry, RoleLeader}, budgets: []Budget{Control, Processor, Memory}},
		{of: "store", roles: []Role{RoleStore}, budgets: []Budget{StoreWrites, StoreReads}},
	}
)

// Fits reports whether the sum is within the limit.
func (t Total) Fits() bool { return t.Sum <= t.Limit }

// Remedy returns the change that would bring the sum within its limit, or an empty text if none is stated.
func (t Total) Remedy() string { return shortfalls[shortfall{of: t.Of, budget: t.Budget}] }

// Totals returns the sum of the estimates for each kind of daemon and the store, and each budget that limits it.
func Totals(results []Result) []Total {
	var out []Total
	for _, g := range budgetGroups {
		for _, b := range g.budgets {
			out = append(out, Total{Of: g.of, Budget: b, Sum: sumEstimates(results, g.roles, b), Limit: limits[b]})
		}
	}
	return out
}

// Write writes the results and their sums as Markdown tables, with the sums that exceed their limit and the mechanisms.
func Write(w io.Writer, results []Result) error {
	lines := []string{tableHead, tableRule}
	for i := range results {
		lines = append(lines, resultRow(&results[i]))
	}
	lines = append(lines, "", totalHead, totalRule)
	for _, t := range Totals(results) {
		lines = append(lines, totalRow(t))
	}
	lines = append(lines, "", "What does not fit yet, and what would bring it within the limit:", "")
	lines = append(lines, shortfallLines(results)...)
	lines = append(lines, "", "What carries each duty:", "")
	lines = append(lines, mechanismLines(results)...)
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return errs.New(errs.Internal, "writing the tables: %v", err)
	}
	return nil
}

// Update replaces the generated part of the page at the path, which stands between two markers. Errors have kind Invalid
// if the page cannot be read or has no such part, otherwise Internal.
func Update(path string, results []Result) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errs.New(errs.Invalid, "reading the page: %v", err)
	}
	head, _, found := strings.Cut(string(page), markBegin)
	_, tail, ended := strings.Cut(string(page), markEnd)
	if !found || !ended {
		return errs.New(errs.Invalid, "%s has no generated part", path)
	}
	var body strings.Builder
	if err := Write(&body, results); err != nil {
		return err
	}
	text := head + markBegin + "\n\n" + body.String() + "\n" + markEnd + tail
	if err := os.WriteFile(path, []byte(text), pageMode); err != nil {
		return errs.New(errs.Internal, "writing the page: %v", err)
	}
	return nil
}

// sumEstimates adds up the estimates that count against one budget for the given roles.
func sumEstimates(results []Result, roles []Role, b Budget) float64 {
	var out float64
	for i := range results {
		for _, role := range roles {
			if results[i].Role == role && results[i].Budget == b {
				out += results[i].Estimate()
			}
		}
	}
	return out
}

// totalRow returns the row of one sum. A sum of 0 is shown as not measured, so that it does not count as one that fits.
func totalRow(t Total) string {
	if t.Sum == 0 {
		return fmt.Sprintf("| %s | %s | not measured | "+figureFormat+" | |", t.Of, t.Budget, t.Limit)
	}
	return fmt.Sprintf("| %s | %s | "+figureFormat+" | "+figureFormat+" | %s |", t.Of, t.Budget, t.Sum, t.Limit, yesNo(t.Fits()))
}

func resultRow(r *Result) string {
	sizes := make([]string, 0, len(r.Points))
	for _, p := range r.Points {
		sizes = append(sizes, fmt.Sprintf("%g", p.Size))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | "+figureFormat+" | "+figureFormat+" | "+figureFormat+" | "+figureFormat+" | %s |",
		r.Role, r.Duty, r.Budget, r.Driver, strings.Join(sizes, ", "),
		r.Line.Slope*r.Factor, r.Line.Intercept*r.Factor, r.Line.Residual*r.Factor, r.Estimate(), yesNo(r.Exact))
}

func shortfallLines(results []Result) []string {
	var out []string
	for _, t := range Totals(results) {
		if !t.Fits() {
			out = append(out, fmt.Sprintf("- %s, %s: %s", t.Of, t.Budget, t.Remedy()))
		}
	}
	if out == nil {
		return []string{"- nothing"}
	}
	return out
}

func mechanismLines(results []Result) []string {
	seen := make(map[string]bool)
	var out []string
	for _, r := range results {
		line := fmt.Sprintf("- %s, %s: %s", r.Role, r.Duty, r.Mechanism)
		if !seen[line] {
			seen[line] = true
			out = append(out, line)
		}
	}
	return out
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
