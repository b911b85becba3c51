package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const (
	promotionPrefix   = "promotions/"
	promotionAttempts = 6
	promotionBackoff  = 200 * time.Millisecond
)

// Promotion is the last change of a group's primary, as recorded for new proxies
// and operators. No failover waits for it to be recorded.
type Promotion struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// By is the name of the proxy that recorded the promotion.
	By string `json:"by"`
}

// Promotions records changes of groups' primaries in the table.
type Promotions struct {
	table Table
	sleep func(context.Context, time.Duration) error
}

// PromotionsOption configures Promotions in NewPromotions.
type PromotionsOption func(*Promotions)

// WithSleep replaces the function that waits between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) PromotionsOption {
	return func(p *Promotions) { p.sleep = sleep }
}

// NewPromotions returns the promotions recorded in t.
func NewPromotions(t Table, options ...PromotionsOption) *Promotions {
	p := &Promotions{table: t, sleep: Sleep}
	for _, o := range options {
		o(p)
	}
	return p
}

// Get returns the last recorded promotion of a group. It returns a
// *NotFoundError if there is none.
func (p *Promotions) Get(ctx context.Context, group string) (Promotion, error) {
	_, promotion, err := p.read(ctx, group)
	return promotion, err
}

func (p *Promotions) read(ctx context.Context, group string) (Item, Promotion, error) {
	item, err := p.table.Get(ctx, promotionPrefix+group)
	if err != nil {
		return Item{Key: promotionPrefix + group}, Promotion{}, err
	}
	var promotion Promotion
	if err := json.Unmarshal(item.Value, &promotion); err != nil {
		return item, Promotion{}, errors.Wrapf(err, "decode promotion of group %q", group)
	}
	return item, promotion, nil
}

// Record stores a promotion unless one with the same or a higher term is stored.
// It retries with exponential backoff. Each attempt reads the stored promotion
// first, so one that took effect without an acknowledgment is not repeated. It
// returns the error of the last attempt.
func (p *Promotions) Record(ctx context.Context, group string, next Promotion) error {
	backoff := promotionBackoff
	for attempt := 1; ; attempt++ {
		err := p.recordOnce(ctx, group, next)
		if err == nil || attempt == promotionAttempts {
			return err
		}
		if p.sleep(ctx, backoff) != nil {
			return err
		}
		backoff *= 2
	}
}

func (p *Promotions) recordOnce(ctx context.Context, group string, next Promotion) error {
	item, stored, err := p.read(ctx, group)
	var notFound *NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	if err == nil && stored.Term >= next.Term {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return p.table.Put(ctx, Item{Key: item.Key, Version: item.Version + 1, Value: value})
}
