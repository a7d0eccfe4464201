package workersim

import "fmt"

// LecturePolicy returns a policy with one pipeline for tests: encode, package, and publish, which must not run twice. An
// output of encode that package reports as bad is made again at another site; failures of encode are rerun. Lectures
// share the outputs of encode by the named parameter; if it is empty, each has its own.
func LecturePolicy(version, shared string) string {
	if shared != "" {
		shared = fmt.Sprintf("shared = %q\n", shared)
	}
	return fmt.Sprintf(lecturePolicy, version, shared)
}

const lecturePolicy = `version = %q
[budget]
fleet = "50%%"
spare = "10m"
[[pipeline]]
name = "lecture"
result = ["publish"]
within = "5m"
[[pipeline.stage]]
name = "encode"
class = "preview"
work = "1s"
%s[[pipeline.stage]]
name = "package"
class = "preview"
work = "1s"
needs = ["encode"]
[[pipeline.stage]]
name = "publish"
class = "publish"
work = "1s"
needs = ["package"]
[[pipeline.rerun]]
on = "package"
when = 'cause.kind == "bad_input"'
rerun = "cause.input"
where = "other-site"
after = "100ms..1s"
most = 2
budget = "fleet"
[[pipeline.rerun]]
on = "encode"
when = 'cause.kind in ["may_have_run", "failed"]'
rerun = "self"
after = "100ms..1s"
most = 2
budget = "fleet"
`
