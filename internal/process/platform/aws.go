package platform

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	dynamotypes "github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/go-faster/errors"
)

// The attribute names of an item.
const (
	attributeKey     = "key"
	attributeVersion = "version"
	attributeValue   = "value"
)

// maxObjectSize is the maximum size of an object that is read, in bytes.
const maxObjectSize = 8 << 20

// AWSConfig holds the endpoint, credentials and resource names of the table and
// object store services.
type AWSConfig struct {
	Endpoint string
	Region   string
	KeyID    string
	Secret   string
	// Table and Bucket are the names of the DynamoDB table and the S3 bucket.
	Table  string
	Bucket string
}

func (c AWSConfig) config() aws.Config {
	return aws.Config{
		Region:      c.Region,
		Credentials: credentials.NewStaticCredentialsProvider(c.KeyID, c.Secret, ""),
		// The client does not retry: only the code that makes a call knows
		// whether it may be repeated.
		Retryer: func() aws.Retryer { return aws.NopRetryer{} },
	}
}

// DynamoTable is a Table in DynamoDB.
type DynamoTable struct {
	client *dynamodb.Client
	table  string
}

// NewDynamoTable returns the table c.Table.
func NewDynamoTable(c AWSConfig) *DynamoTable {
	client := dynamodb.NewFromConfig(c.config(), func(o *dynamodb.Options) {
		if c.Endpoint != "" {
			o.BaseEndpoint = aws.String(c.Endpoint)
		}
	})
	return &DynamoTable{client: client, table: c.Table}
}

// Get implements Table.
func (t *DynamoTable) Get(ctx context.Context, key string) (Item, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.table), ConsistentRead: aws.Bool(true),
		Key: map[string]dynamotypes.AttributeValue{attributeKey: &dynamotypes.AttributeValueMemberS{Value: key}},
	})
	if err != nil {
		return Item{}, &UnavailableError{Service: "table service", Cause: err}
	}
	if len(out.Item) == 0 {
		return Item{}, &NotFoundError{Key: key}
	}
	item := Item{Key: key}
	if v, ok := out.Item[attributeVersion].(*dynamotypes.AttributeValueMemberN); ok {
		if item.Version, err = strconv.ParseUint(v.Value, 10, 64); err != nil {
			return Item{}, errors.Wrap(err, "parse item version")
		}
	}
	if v, ok := out.Item[attributeValue].(*dynamotypes.AttributeValueMemberB); ok {
		item.Value = v.Value
	}
	return item, nil
}

// Put implements Table.
func (t *DynamoTable) Put(ctx context.Context, item Item) error {
	in := &dynamodb.PutItemInput{
		TableName: aws.String(t.table),
		Item: map[string]dynamotypes.AttributeValue{
			attributeKey:     &dynamotypes.AttributeValueMemberS{Value: item.Key},
			attributeVersion: &dynamotypes.AttributeValueMemberN{Value: strconv.FormatUint(item.Version, 10)},
			attributeValue:   &dynamotypes.AttributeValueMemberB{Value: item.Value},
		},
		ExpressionAttributeNames: map[string]string{"#v": attributeVersion},
		ConditionExpression:      aws.String("attribute_not_exists(#v)"),
	}
	if item.Version > 1 {
		in.ConditionExpression = aws.String("#v = :before")
		in.ExpressionAttributeValues = map[string]dynamotypes.AttributeValue{
			":before": &dynamotypes.AttributeValueMemberN{Value: strconv.FormatUint(item.Version-1, 10)},
		}
	}
	_, err := t.client.PutItem(ctx, in)
	var conflict *dynamotypes.ConditionalCheckFailedException
	switch {
	case errors.As(err, &conflict):
		return &ConflictError{Key: item.Key, Version: item.Version}
	case err != nil:
		return &UnavailableError{Service: "table service", Cause: err}
	}
	return nil
}

// S3Objects is an Objects store in an S3 bucket.
type S3Objects struct {
	client *s3.Client
	bucket string
}

// NewS3Objects returns the object store in c.Bucket.
func NewS3Objects(c AWSConfig) *S3Objects {
	client := s3.NewFromConfig(c.config(), func(o *s3.Options) {
		if c.Endpoint != "" {
			o.BaseEndpoint = aws.String(c.Endpoint)
			o.UsePathStyle = true
		}
		o.RequestChecksumCalculation = aws.RequestChecksumCalculationWhenRequired
		o.ResponseChecksumValidation = aws.ResponseChecksumValidationWhenRequired
	})
	return &S3Objects{client: client, bucket: c.Bucket}
}

// Put implements Objects.
func (o *S3Objects) Put(ctx context.Context, key string, content []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.bucket), Key: aws.String(key), Body: bytes.NewReader(content),
	})
	if err != nil {
		return &UnavailableError{Service: "object store", Cause: err}
	}
	return nil
}

// Get implements Objects.
func (o *S3Objects) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
	var noSuchKey *s3types.NoSuchKey
	switch {
	case errors.As(err, &noSuchKey):
		return nil, &NotFoundError{Key: key}
	case err != nil:
		return nil, &UnavailableError{Service: "object store", Cause: err}
	}
	defer out.Body.Close()
	content, err := io.ReadAll(io.LimitReader(out.Body, maxObjectSize+1))
	if err != nil {
		return nil, &UnavailableError{Service: "object store", Cause: err}
	}
	if len(content) > maxObjectSize {
		return nil, errors.Errorf("object %s exceeds the limit of %d bytes", key, maxObjectSize)
	}
	return content, nil
}
