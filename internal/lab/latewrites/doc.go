// Package latewrites holds a check of everything that the processes write to the metadata store. It runs the product's own fronts and
// orderers in modelled time, and plays each scenario once for each way in which one of its writes can be disturbed: its answer is lost,
// and the store applies it at once, or late, just before or just after any later write, while its process goes on, is killed, cut off,
// stopped as planned or lost for good. The plays are judged by what callers read and by what the store holds in the end.
package latewrites
