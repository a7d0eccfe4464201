package plant

import "fmt"

// Lecture is a policy of one pipeline, as stories play it: encode, package, publish, which must not run twice. A rendition
// that packaging calls spoilt is made anew at another site; encode runs again by itself. Lectures share the renditions of
// the parameter named; none: each has its own.
func Lecture(version, shared string) string {
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
