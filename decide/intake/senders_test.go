package intake

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	senderScript struct {
		Name  string       `yaml:"Name"`
		Steps []senderStep `yaml:"Steps"`
	}

	senderStep struct {
		// From is the sender; "*" stands for another one for each datagram.
		From    string `yaml:"From"`
		Size    int    `yaml:"Size"`
		Count   int    `yaml:"Count"`
		EveryMs int    `yaml:"EveryMs"`
		// Accept says that the messages are accepted.
		Accept       bool `yaml:"Accept"`
		WantAdmitted int  `yaml:"WantAdmitted"`
	}
)

// TestSenders guards against datagrams of unknown senders that cost a process its processor time, and against a bound that
// drops the messages of daemons in a large fleet.
func TestSenders(t *testing.T) {
	for _, c := range cases.Load[senderScript](t, "testdata/senders.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewSenders(now)
			for number, step := range c.Steps {
				admitted := 0
				for i := range step.Count {
					from := step.From
					if from == "*" {
						from = fmt.Sprint("stranger-", i)
					}
					if s.Admit(from, step.Size, now) {
						admitted++
						if step.Accept {
							s.Accept(from, now)
						}
					}
					now = now.Add(time.Duration(step.EveryMs) * time.Millisecond)
				}
				if admitted != step.WantAdmitted {
					t.Errorf("step %d: %d datagrams admitted, want %d", number+1, admitted, step.WantAdmitted)
				}
			}
		})
	}
}

// TestForgottenSenders guards against a list of senders that grows with every address that ever sent a message.
func TestForgottenSenders(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSenders(now)
	for i := range 2 * maxSenders {
		s.Accept(fmt.Sprint("sender-", i), now)
	}
	if got := len(s.accepted); got != maxSenders {
		t.Errorf("%d senders, want %d", got, maxSenders)
	}
	now = now.Add(2 * senderTTL)
	s.Accept("another", now)
	if got := len(s.accepted); got != 1 {
		t.Errorf("%d senders after all but one have fallen silent, want 1", got)
	}
}
