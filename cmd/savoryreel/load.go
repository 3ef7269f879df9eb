package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/load"
	"savoryreel.example/savoryreel/platform"
	"savoryreel.example/savoryreel/settings"
)

// loadConfig holds the settings of the load command.
type loadConfig struct {
	dialect                      string
	entries                      []string
	key, service, path, kind     string
	rate, inFlight, seed, tokens int
	prompt, prefix, prefixes     int
	duration, deadline, target   time.Duration
	jsonFile, htmlFile           string
	direct, model                string
	once                         bool
}

func (c *loadConfig) declare(s *settings.Set) {
	s.String(&c.dialect, "dialect", dialectNative, dialectHelp, oneOf(dialectNative, dialectPlatform))
	s.Strings(&c.entries, "entries", []string{"127.0.0.1:7001"}, "addresses that are asked which entries to use: native entries, platform directories",
		settings.HostPorts)
	s.Secret(&c.key, "key", "workspace key", settings.Required)
	s.String(&c.service, "service", "chat", "service to call; platform: host of the route", settings.Required)
	s.String(&c.kind, "kind", "chat", "chat or plain", oneOf("chat", "plain"))
	s.String(&c.path, "path", "/", "path of plain calls; platform: of all calls")
	s.Bool(&c.once, "once", false, "send plain calls with an Idempotency-Key")
	s.Int(&c.rate, "rate", 20, "requests a second, whatever the system answers", settings.Between(1, 100_000))
	s.Int(&c.inFlight, "in-flight", 256, "callers at work at once", settings.Between(1, 100_000))
	s.Int(&c.seed, "seed", 1, "seed of arrivals and prompts", settings.Between(0, 1<<30))
	s.Int(&c.tokens, "tokens", 32, "tokens of each answer", settings.Between(1, 100_000))
	s.Int(&c.prompt, "prompt-bytes", 400, "length of each new prompt", settings.Between(1, 1<<20))
	s.Int(&c.prefix, "prefix-bytes", 2000, "length of the shared first message; 0: none", settings.Between(0, 1<<20))
	s.Int(&c.prefixes, "prefixes", 8, "different first messages", settings.Between(1, 1<<20))
	s.Duration(&c.duration, "duration", 10*time.Second, "length of the run", settings.Between(100*time.Millisecond, time.Hour))
	s.Duration(&c.deadline, "deadline", 30*time.Second, "deadline of each request", settings.Between(time.Millisecond, time.Hour))
	s.Duration(&c.target, "target", 720*time.Millisecond, "first-token target", settings.Between(time.Millisecond, time.Hour))
	s.String(&c.direct, "direct", "", "address of a model engine that is also called directly, for comparison", settings.Optional(settings.HostPort))
	s.String(&c.model, "model", "demo", "model of that engine")
	s.String(&c.jsonFile, "json", "", "file for the result as JSON")
	s.String(&c.htmlFile, "html", "", "file for the report as HTML")
}

// directPartName is the name of the load.Part whose requests go directly to an engine.
const directPartName = "direct"

// oneOf returns a Check that accepts only the allowed values.
func oneOf(allowed ...string) settings.Check[string] {
	return func(v string) error {
		for _, w := range allowed {
			if v == w {
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %v", v, allowed)
	}
}

// load returns the configuration of the run.
func (c *loadConfig) load() load.Config {
	part := load.Part{
		Name: c.service, Weight: 1, Kind: load.Kind(c.kind), Service: c.service, Workspace: "load", Key: c.key,
		Deadline: c.deadline, FirstTokenTarget: c.target, PrefixBytes: c.prefix, Prefixes: c.prefixes,
		PromptBytes: c.prompt, MaxTokens: c.tokens, Path: c.path, BodyBytes: c.prompt, Once: c.once,
	}
	cfg := load.Config{
		Rate: float64(c.rate), Duration: c.duration, MaxInFlight: c.inFlight, Seed: uint64(c.seed), Parts: []load.Part{part},
	}
	if c.dialect == dialectPlatform {
		cfg.Dialect = platform.LoadDialect{Host: c.service}
	}
	if c.direct != "" {
		directLoad := part
		directLoad.Name, directLoad.Direct, directLoad.Service = directPartName, c.direct, c.model
		cfg.Parts = append(cfg.Parts, directLoad)
	}
	for _, addr := range c.entries {
		cfg.Entries = append(cfg.Entries, "http://"+addr)
	}
	return cfg
}

func newLoad() *cobra.Command {
	var c loadConfig
	cmd := &cobra.Command{Use: "load", Short: "Send bounded load to entries and report what callers got", Args: cobra.NoArgs}
	set := settings.New(cmd.Flags())
	c.declare(set)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Load(); err != nil {
			return err
		}
		ctx, cancel := clientContext(cmd)
		defer cancel()
		result, err := load.Run(ctx, c.load())
		if err != nil {
			return err
		}
		return writeResult(cmd.OutOrStdout(), result, &c)
	}
	return cmd
}

// writeResult writes the result as text to w, and as JSON and HTML to the files in c.
func writeResult(w io.Writer, r *load.Result, c *loadConfig) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for i := range r.Parts {
		fmt.Fprintf(tw, "%s\n", r.Parts[i].Name)
		writeTable(tw, &r.Parts[i])
	}
	if c.direct != "" {
		o, err := r.Overhead(c.service, directPartName)
		if err != nil {
			return err
		}
		fmt.Fprintf(tw, "first token against direct\tp50 x%.3f (%+.2f ms)\tp99 x%.3f (%+.2f ms)\n", o.P50, o.AddedP50, o.P99, o.AddedP99)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if err := writeFile(c.jsonFile, r.WriteJSON); err != nil {
		return err
	}
	return writeFile(c.htmlFile, r.WriteHTML)
}

// writeTable writes the outcomes of a part's requests and their latencies in milliseconds.
func writeTable(w io.Writer, t *load.PartResult) {
	o := &t.Outcomes
	fmt.Fprintf(w, "requests\t%d\nanswered\t%d\non target\t%d\nnot run\t%d\nunknown\t%d\nfailed\t%d\nbroken\t%d\nwrong\t%d\n",
		t.Requests, o.Answered, t.OnTarget, o.NotRun, o.Unknown, o.Failed, o.Broken, o.Wrong)
	for _, row := range []struct {
		name string
		l    load.Distribution
	}{{"first token", t.FirstToken}, {"between tokens", t.Between}, {"whole answer", t.Whole}} {
		fmt.Fprintf(w, "%s\tp50 %.1f\tp95 %.1f\tp99 %.1f\tmax %.1f ms\n", row.name, row.l.P50, row.l.P95, row.l.P99, row.l.Max)
	}
}

// writeFile creates a file and calls write for its content. It does nothing if name is empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close() // returns the error of write instead
		return err
	}
	return f.Close()
}
