// Package program is the balancer's command line: it starts the program or checks what it would start with. It must
// never hold anything of what the program does, nor import internal/revision/host: a program that holds it imports
// it by itself (cmd/oatloft-revisions), and is taken in this one's place where the edge file has the section
// revisions.
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
	Check   check   `cmd:"" help:"Read a configuration, and say what is wrong with it."`
	Version version `cmd:"" help:"Print the version."`
}

type source struct {
	Config     string `help:"Configuration file (JSON)."                                                           env:"PROXY_CONFIG"     required:"" type:"path"`
	Name       string `help:"The balancer's name, in place of the configuration's."                                env:"PROXY_NAME"`
	Listen     string `help:"Where terminals connect, host:port."                                                  env:"PROXY_LISTEN"`
	Discovery  string `help:"Discovery's host:port."                                                               env:"PROXY_DISCOVERY"`
	Management string `help:"Where operators call, host:port; nowhere if not given."                               env:"PROXY_MANAGEMENT"`
	Inherited  string `help:"Descriptor of a listening socket held by the platform, taken in place of an own one." env:"PROXY_FD"                                 name:"fd"`
	State      string `help:"Directory for what one process leaves to the next."                                   env:"TMPDIR"                       type:"path"`
	Edge       string `help:"Our own settings, compiled by oatctl edge compile (JSON); none if not given."         env:"PROXY_EDGE"                   type:"path"`
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

// addEdgeSettings adds our own settings.
func (s source) addEdgeSettings(cfg *proxy.Config) error {
	if s.Edge == "" {
		return nil
	}
	e, err := edgeconfig.Load(s.Edge)
	if err != nil {
		return err
	}
	return cfg.SetEdge(e)
}

type serve struct {
	source
	LogLevel  string `help:"From which level on lines are logged."    enum:"debug,info,warn,error" default:"info"`
	LogFormat string `help:"How lines are written on standard error." enum:"text,json"             default:"text"`
}

// Suffix is what the name of the program that holds the agreement has more than that of this one, in the same folder.
const Suffix = "-revisions"

// execRevisionsProgram goes on as the program beside this one where the edge file asks for what this one doesn't hold. It is
// the same process, with the same descriptors: nothing has been opened yet, and no signal is caught. Who has no
// such section pays nothing for it: the agreement is a third of the larger program, and a program's size is what
// most of its idle memory is.
func (s *serve) execRevisionsProgram() error {
	if s.Edge == "" || lease.Start != nil {
		return nil
	}
	e, err := edgeconfig.Load(s.Edge)
	if err != nil || e.Revisions == nil {
		return err
	}
	path, err := os.Executable()
	if err == nil {
		path += Suffix
		err = syscall.Exec(path, append([]string{path}, os.Args[1:]...), append(os.Environ(), builtVariable+"="+buildDescription()))
	}
	return &RevisionsProgramNotStarted{path, err}
}

// builtVariable is the variable by which the one program tells the other what it was built from.
const builtVariable = "OATLOFT_BUILT"

// checkSameBuild tells whether the program that started this one was built from the same sources: their edge files,
// folders and messages are.
func checkSameBuild() error {
	if by, set := os.LookupEnv(builtVariable); set && by != buildDescription() {
		return &BuildMismatch{by, buildDescription()}
	}
	return nil
}

// BuildMismatch is the error that the two programs which lie side by side were built from different sources.
type BuildMismatch struct{ Starter, Own string }

func (e *BuildMismatch) Error() string {
	return "revisions: the program that holds the agreement was built from other sources: it is " + e.Own + ", what started it is " + e.Starter
}

// Hint is what an operator can do.
func (e *BuildMismatch) Hint() string {
	return "install both of one version (go build -o bin/ ./cmd/... makes both), and start again"
}

// RevisionsProgramNotStarted is the error that the program which holds the agreement isn't where it has to be.
type RevisionsProgramNotStarted struct {
	Path  string
	Cause error
}

func (e *RevisionsProgramNotStarted) Error() string {
	return "revisions: the program that holds the agreement can't be started: " + e.Path + ": " + e.Cause.Error()
}

// Unwrap is the cause.
func (e *RevisionsProgramNotStarted) Unwrap() error { return e.Cause }

// Hint is what an operator can do.
func (e *RevisionsProgramNotStarted) Hint() string {
	return "install it there, of the same version (go build -o bin/ ./cmd/... makes both), or leave the section revisions out"
}

func (s *serve) Run() error {
	if err := cmp.Or(s.execRevisionsProgram(), checkSameBuild()); err != nil {
		return err
	}
	// Caught before anything listens: a signal that nobody catches ends the program.
	leave, report := signals(syscall.SIGTERM, syscall.SIGINT), signals(syscall.SIGUSR1)
	again := signals(syscall.SIGHUP)
	log, err := logs.New(os.Stderr, s.LogFormat, s.LogLevel)
	if err != nil {
		return err
	}
	cfg, err := s.load()
	if err != nil {
		return err
	}
	cfg.SetLimits()
	server, err := proxy.New(cfg, log)
	if err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	return server.Run(context.Background(), leave, report, s.configReloads(again, log))
}

// configReloads reads the configuration again at each signal. A file that can't work is one line in the log, and
// what was read before stays.
func (s *serve) configReloads(again <-chan struct{}, log *slog.Logger) <-chan proxy.Config {
	out := make(chan proxy.Config)
	go func() {
		for range again {
			cfg, err := proxy.ReloadConfig(s.Config, s.overrides())
			if err == nil {
				err = s.addEdgeSettings(&cfg)
			}
			if err != nil {
				log.Error("not reloaded, the old configuration stays", "err", err)
				continue
			}
			out <- cfg
		}
	}()
	return out
}

// signals turns signals into plain events.
func signals(which ...os.Signal) <-chan struct{} {
	in, out := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(in, which...)
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
	regions := 0
	if cfg.KnownEndpoints != nil {
		regions = len(cfg.KnownEndpoints.Endpoints)
	}
	fmt.Printf("%s: listens on %s, discovery at %s, %d classes, %d tenants, %d regions known\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Core.Policy.Classes), len(cfg.Core.Policy.Tenants), regions)
	return nil
}

// noBuildInfo is that the program can't tell what it is.
type noBuildInfo struct{ hint.Annotated }

type version struct{}

func (version) Run() error {
	line := buildDescription()
	if line == "" {
		return &noBuildInfo{
			hint.Annotated{
				Where: "version",
				What:  "this program was built without its build information",
				Do:    "build it in its repository by go build",
			},
		}
	}
	fmt.Println("oatloft", line)
	return nil
}

// buildDescription says what this program was buildDescription from, and by what; "" if it doesn't know.
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

// Main runs the command line, and ends the process where it fails.
func Main() {
	ctx := kong.Parse(&flags{}, kong.Name("oatloft"), kong.Description("A balancer for long-lived connections."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "oatloft:", hint.Line(err))
		os.Exit(1)
	}
}
