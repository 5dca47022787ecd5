package storage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// maxObjectBytes bounds the size of an object that Get reads into memory.
const maxObjectBytes = 16 << 20

// S3 implements ObjectStore with the S3 protocol and path-style addresses. It makes one
// attempt for each call. Content is immutable, so callers may repeat Put.
type S3 struct {
	client *s3.Client
	bucket string
}

// NewS3 returns an ObjectStore for the bucket.
func NewS3(settings ServiceSettings, bucket string) *S3 {
	client := s3.New(s3.Options{
		BaseEndpoint: aws.String(settings.Endpoint),
		Region:       settings.Region,
		Credentials:  settings.credentials(),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   bufferedClient{newHTTPClient(nil)},
		UsePathStyle: true,
		// Objects are named by their SHA-256, so a second checksum adds nothing.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &S3{client: client, bucket: bucket}
}

// Get returns the object or ErrNotFound.
func (s *S3) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("%w: object %s", ErrNotFound, name)
	}
	if err != nil {
		return nil, readError("get object", err)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err != nil {
		return nil, readError("get object", err)
	}
	if len(data) > maxObjectBytes {
		return nil, fmt.Errorf("object %s exceeds %d bytes", name, maxObjectBytes)
	}
	return data, nil
}

// Put stores the object. ErrUnknown means that it may be stored; repeating Put is
// safe.
func (s *S3) Put(ctx context.Context, name string, data []byte) error {
	ctx, sent := traceSent(ctx)
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(data),
	})
	if err != nil {
		return writeError("put object", err, sent.Load())
	}
	return nil
}
