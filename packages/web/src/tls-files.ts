import type { TlsFiles } from './server.js';

/**
 * Returns the TLS files in a program's settings, or undefined if none are set. Throws if only one
 * is set.
 */
export function tlsFilesOf(settings: {
  readonly tlsCertificateFile?: string | undefined;
  readonly tlsKeyFile?: string | undefined;
}): TlsFiles | undefined {
  const { tlsCertificateFile: certificateFile, tlsKeyFile: keyFile } = settings;
  if ((certificateFile === undefined) !== (keyFile === undefined)) {
    throw new Error('--tls-certificate-file and --tls-key-file must be set together');
  }
  return certificateFile === undefined || keyFile === undefined
    ? undefined
    : { certificateFile, keyFile };
}
