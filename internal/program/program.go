// Package program is the balancer's command line: it starts the balancer, or checks the configuration that it would
// start with. It implements nothing of the balancer, and does not import internal/revision/host: the program that
// contains that package imports it itself (cmd/oatloft-revisions), and is executed in place of this one if the edge
// file has the section revisions.
package program

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/hint"
	"oatloft/internal/logs"
	"oatloft/internal/proxy"
	"oatloft/internal/revision/lease"
)

type flags struct {
	Serve   serve   `cmd:"" help:"Run a balancer in the foreground."`
	Check   check   `cmd:"" help:"Read a configuration, and report what is wrong with it."`
	Version version `cmd:"" help:"Print the version."`
}

type source struct {
	Config     string `help:"Configuration file (JSON)."                                                env:"PROXY_CONFIG"     required:"" type:"path"`
	Name       string `help:"The balancer's name; overrides the configuration."                         env:"PROXY_NAME"`
	Listen     string `help:"Address for clients, host:port."                                           env:"PROXY_LISTEN"`
	Discovery  string `help:"Address of discovery, host:port."                                          env:"PROXY_DISCOVERY"`
	Management string `help:"Address for operators' calls, host:port; none if not given."               env:"PROXY_MANAGEMENT"`
	Inherited  string `help:"Descriptor of a listening socket to inherit instead of opening one."       env:"PROXY_FD"                                 name:"fd"`
	State      string `help:"Directory for the state that a process passes to its successor."           env:"TMPDIR"                       type:"path"`
	Edge       string `help:"Edge settings (JSON), compiled by oatctl edge compile; none if not given." env:"PROXY_EDGE"                   type:"path"`
}

func (s source) overrides() proxy.Overrides {
	return proxy.Overrides{
		Name:       s.Name,
		Listen:     s.Listen,
		Discovery:  s.Discovery,
		Management: s.Management,
		Inherited:  s.Inherited,
		State:      s.State,
	}
}

func (s source) load() (proxy.Config, error) {
	cfg, err := proxy.LoadConfig(s.Config, s.overrides())
	if err == nil {
		err = s.addEdgeSettings(&cfg)
	}
	return cfg, err
}

// addEdgeSettings adds the settings of the edge file, if one is given.
func (s source) addEdgeSettings(cfg *proxy.Config) error {
	if s.Edge == "" {
		return nil
	}
	edge, err := edgeconfig.Load(s.Edge)
	if err != nil {
		return err
	}
	return cfg.SetEdge(edge)
}

type serve struct {
	source
	LogLevel  string `help:"Lowest level of lines that are logged." enum:"debug,info,warn,error" default:"info"`
	LogFormat string `help:"Format of the log on standard error."   enum:"text,json"             default:"text"`
}

// Suffix is appended to this program's path to obtain the path of the program that supports revisions.
const Suffix = "-revisions"

// execRevisionsProgram executes the program with revision support, installed in the same folder, if the edge file has
// the section revisions and this program lacks it. The process and its descriptors stay the same: nothing has been
// opened yet, and no signal is caught. Deployments without revisions use the smaller program, because the consensus
// code is a third of the larger one, and most of a program's idle memory is its own size.
func (s *serve) execRevisionsProgram() error {
	if s.Edge == "" || lease.Start != nil {
		return nil
	}
	edge, err := edgeconfig.Load(s.Edge)
	if err != nil || edge.Revisions == nil {
		return err
	}
	path, err := os.Executable()
	if err == nil {
		path += Suffix
		err = syscall.Exec(
			path,
			append([]string{path}, os.Args[1:]...),
			append(os.Environ(), builtVariable+"="+buildDescription()),
		)
	}
	return &RevisionsProgramNotStarted{path, err}
}

// builtVariable is the environment variable that passes the starting program's build description to the other program.
const builtVariable = "OATLOFT_BUILT"

// checkSameBuild returns an error if the program that started this one was built from other sources, because both
// have to agree on the formats of edge files, state folders and messages.
func checkSameBuild() error {
	if starter, set := os.LookupEnv(builtVariable); set && starter != buildDescription() {
		return &BuildMismatch{starter, buildDescription()}
	}
	return nil
}

// BuildMismatch is the error that oatloft and oatloft-revisions were built from different sources.
type BuildMismatch struct{ Starter, Own string }

// Error describes the builds of both programs.
func (e *BuildMismatch) Error() string {
	return "revisions: the program with revision support was built from other sources: it is " + e.Own +
		", the program that started it is " + e.Starter
}

// Hint returns what an operator can do.
func (e *BuildMismatch) Hint() string {
	return "install both programs of the same version (go build -o bin/ ./cmd/... builds both), and start again"
}

// RevisionsProgramNotStarted is the error that the program with revision support could not be executed.
type RevisionsProgramNotStarted struct {
	Path  string
	Cause error
}

// Error names the path of the program and the cause.
func (e *RevisionsProgramNotStarted) Error() string {
	return "revisions: cannot start the program with revision support: " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RevisionsProgramNotStarted) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *RevisionsProgramNotStarted) Hint() string {
	return "install it there, of the same version (go build -o bin/ ./cmd/... builds both), " +
		"or remove the section revisions"
}

func (s *serve) Run() error {
	if err := cmp.Or(s.execRevisionsProgram(), checkSameBuild()); err != nil {
		return err
	}
	// Signals are caught before anything listens: one that is not caught would end the program.
	shutdown, report := signals(syscall.SIGTERM, syscall.SIGINT), signals(syscall.SIGUSR1)
	reload := signals(syscall.SIGHUP)
	log, err := logs.New(os.Stderr, s.LogFormat, s.LogLevel)
	if err != nil {
		return err
	}
	cfg, err := s.load()
	if err != nil {
		return err
	}
	cfg.SetLimits()
	balancer, err := proxy.New(cfg, log)
	if err != nil {
		return err
	}
	if err := balancer.Start(); err != nil {
		return err
	}
	return balancer.Run(context.Background(), shutdown, report, s.configReloads(reload, balancer.ReloadRequests(), log))
}

// configReloads reads the configuration again at each signal, and when the balancer requests it. An invalid file is
// reported by one line in the log, and the previous configuration stays in force.
func (s *serve) configReloads(signal, requests <-chan struct{}, log *slog.Logger) <-chan proxy.Config {
	out := make(chan proxy.Config)
	go func() {
		for {
			followed := false
			select {
			case <-signal:
			case <-requests:
				followed = true
			}
			cfg, err := s.reload()
			if err != nil {
				log.Error("reload failed, the old configuration stays in force", "err", err)
				continue
			}
			cfg.ReloadFollowed = followed
			out <- cfg
		}
	}()
	return out
}

func (s *serve) reload() (proxy.Config, error) {
	cfg, err := proxy.ReloadConfig(s.Config, s.overrides())
	if err == nil {
		err = s.addEdgeSettings(&cfg)
	}
	return cfg, err
}

// signals returns a channel that receives a value for each of the given signals.
func signals(caught ...os.Signal) <-chan struct{} {
	in, out := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(in, caught...)
	go func() {
		for range in {
			out <- struct{}{}
		}
	}()
	return out
}

type check struct{ source }

func (c *check) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if err := cfg.CheckAddresses(); err != nil {
		return err
	}
	servers := 0
	if cfg.KnownEndpoints != nil {
		servers = len(cfg.KnownEndpoints.Endpoints)
	}
	fmt.Printf("%s: listens on %s, discovery at %s, %d classes, %d tenants, %d regions known\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Core.Policy.Classes), len(cfg.Core.Policy.Tenants), servers)
	return nil
}

// noBuildInfo is the error that the program does not contain its build information.
type noBuildInfo struct{ hint.Annotated }

type version struct{}

func (version) Run() error {
	line := buildDescription()
	if line == "" {
		return &noBuildInfo{
			hint.Annotated{
				Where: "version",
				What:  "this program was built without its build information",
				Do:    "build it in its repository with go build",
			},
		}
	}
	fmt.Println("oatloft", line)
	return nil
}

// buildDescription returns the version, revision and Go version that this program was built from, or "" if they are
// unknown.
func buildDescription() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	line := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			line += " " + s.Value
		}
	}
	return line + " " + info.GoVersion
}

// Main runs the command line, and ends the process with exit code 1 if it fails.
func Main() {
	ctx := kong.Parse(&flags{}, kong.Name("oatloft"), kong.Description("A balancer for long-lived connections."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "oatloft:", hint.Line(err))
		os.Exit(1)
	}
}
