package siteconf

// Pipelines has dispatchers take runs of pipelines, and run their failed stages again as a policy says. The record of
// [promises] keeps them.
type Pipelines struct {
	File string `toml:"file"` // the policy: docs/reruns.md
}

// checkPipelines finds what no pipelines could run by. The policy itself is read by internal/rerun/policy.
func (f *File) checkPipelines() error {
	switch p := f.Pipelines; {
	case p == nil:
	case p.File == "":
		return f.at("pipelines.file", `missing: write file = "reruns.toml", the policy of reruns`)
	case f.Promises == nil:
		return f.at("pipelines", "a [promises] table is needed: its record keeps the runs, and stages run as promised jobs")
	}
	return nil
}
