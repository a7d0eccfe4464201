package siteconf

// Pipelines configures runs of pipelines, whose failed stages are rerun according to a policy. Runs are stored in the
// record of [promises].
type Pipelines struct {
	File string `toml:"file"` // the rerun policy: docs/reruns.md
}

// checkPipelines validates [pipelines]. The policy itself is read by internal/rerun/policy.
func (f *File) checkPipelines() error {
	switch p := f.Pipelines; {
	case p == nil:
	case p.File == "":
		return f.errorAt("pipelines.file", `missing: write file = "reruns.toml", the policy of reruns`)
	case f.Promises == nil:
		return f.errorAt("pipelines", "a [promises] table is needed: its record keeps the runs, and stages run as promised jobs")
	}
	return nil
}
