import type { TlsFiles } from './server.js';

/** The files of a program's settings; undefined where no certificate is set. */
export function tlsFilesOf(settings: {
  readonly tlsCertificateFile?: string | undefined;
  readonly tlsKeyFile?: string | undefined;
}): TlsFiles | undefined {
  const { tlsCertificateFile: certificateFile, tlsKeyFile: keyFile } = settings;
  if ((certificateFile === undefined) !== (keyFile === undefined)) {
    throw new Error('--tls-certificate-file and --tls-key-file go together');
  }
  return certificateFile === undefined || keyFile === undefined
    ? undefined
    : { certificateFile, keyFile };
}
