import { z } from 'zod';

const objectSchema = z.looseObject({
  kind: z.string(),
  name: z.string(),
  labels: z.record(z.string(), z.string()),
  revision: z.number(),
});

/** Schema of the response of `GET /v1/objects`. */
export const objectsReply = z.object({ revision: z.number(), objects: z.array(objectSchema) });

const fieldSchema = z.object({
  path: z.string(),
  before: z.string().nullable(),
  after: z.string().nullable(),
});

/** Schema of the response of `POST /v1/apply`. */
export const applyReply = z.object({
  revision: z.number().optional(),
  isRepeat: z.boolean().optional(),
  diff: z.array(z.object({ id: z.string(), fields: z.array(fieldSchema) })),
  warnings: z.array(z.string()),
});

/** Schema of the response of `GET /v1/audit`. */
export const auditReply = z.object({
  rows: z.array(
    z.object({
      revision: z.number(),
      operator: z.string(),
      wallMs: z.number(),
      why: z.string(),
      changes: z.array(z.object({ id: z.string(), before: z.unknown(), after: z.unknown() })),
    }),
  ),
});

/** Schema of the response of `GET /v1/status`. */
export const statusReply = z.object({
  revision: z.number(),
  hosts: z.array(
    z.object({
      url: z.string(),
      host: z.string().optional(),
      zone: z.string().optional(),
      state: z.string(),
      revision: z.number().optional(),
      inProgress: z.number().optional(),
      waiting: z.number().optional(),
    }),
  ),
});

/** Schema of the response of `GET /v1/explain`. */
export const explainReply = z.object({
  decisions: z.array(
    z.object({
      kind: z.string(),
      host: z.string(),
      wallMs: z.number(),
      requestId: z.string().optional(),
      labels: z.record(z.string(), z.string()),
      rule: z.string().optional(),
      revision: z.number(),
      choice: z.string(),
      state: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
      passedOver: z.array(z.object({ candidate: z.string(), why: z.string() })),
    }),
  ),
});
