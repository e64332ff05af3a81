// Package settings decodes INI settings and reports every fault with its file and line.
package settings
