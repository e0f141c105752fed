// Package exchanger sends one HTTP/1.1 request to one upstream over a pooled
// connection. It never retries: the type of the returned error tells the caller
// whether the request may have run, and the caller decides on a retry. The
// package has its own connection pool because http.Transport may retry a
// request on its own.
package exchanger
